import type { Result } from 'ts-results';
import type { Refusal, RequestHead, UpstreamLoad } from '../../wire/index.js';
import type { Slot } from './slot.js';

/** Decides when a request may start at the upstream, or refuses it. */
export interface Admission {
  /** Resolves when the request may start or is refused. `gone` aborts when the caller disconnects. */
  offer(requestId: string, head: RequestHead, gone: AbortSignal): Promise<Result<Slot, Refusal>>;
  load(): UpstreamLoad;
}
