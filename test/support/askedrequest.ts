import type { Ms } from '../../src/base/index.js';
import type { QueueKind } from './queuekind.js';

/** A caller's request, with its return if it was refused. */
export interface AskedRequest {
  readonly kind: QueueKind;
  readonly customer: string;
  readonly tokens: number;
  readonly entry: number;
  /** Payment of its runs. */
  readonly charge: object;
  readonly arrivedAtMs: Ms;
  /** When the caller last tried: after a refusal the target latency counts from its return on. */
  triedAtMs: Ms;
  sentAtMs: Ms | undefined;
  endedAtMs: Ms | undefined;
  tries: number;
  end: string;
  /** The caller leaves. */
  leave: () => void;
}
