import type { Result } from 'ts-results';
import type { Refusal, RequestHead, UpstreamLoad } from '../../wire/index.js';
import type { Slot } from './slot.js';

/** Decides when a request may start at the upstream, or refuses it at once. */
export interface Admission {
  /** Resolves when the request may start. `gone` is aborted when its caller has left. */
  offer(requestId: string, head: RequestHead, gone: AbortSignal): Promise<Result<Slot, Refusal>>;
  load(): UpstreamLoad;
}
