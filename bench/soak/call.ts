import type { CallerKey } from './callerkey.js';

/** The kinds of request that the soak's callers make. */
export type CallKind = 'lookup' | 'charge' | 'draft' | 'batch' | 'probe' | 'crash';

/** One request as its caller saw it. */
export interface Call {
  readonly id: string;
  readonly kind: CallKind;
  readonly entry: number;
  /** The entry's life in which it was sent. */
  readonly life: number;
  readonly sentAtMs: number;
  /** For probes: the configuration version whose route it asks for. */
  readonly version: number;
  /** What it came with; absent where no customers are configured. */
  readonly held: CallerKey | undefined;
  status: number | undefined;
  signature: string | undefined;
  echoedId: string | undefined;
  /** Its answer named a limit of the server that gave it, or said that the server leaves. */
  saidLimit: boolean;
  saidLeaving: boolean;
  body: string;
  /** True if the answer's framing says that it is whole. */
  isWhole: boolean;
  endedAtMs: number | undefined;
  /** When the caller left by itself. */
  leftAtMs: number | undefined;
  /** Why no answer came. */
  error: string | undefined;
}
