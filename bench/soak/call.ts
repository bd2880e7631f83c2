import type { CallerKey } from './callerkey.js';

/** Kinds of request that the soak's callers send. */
export type CallKind =
  'lookup' | 'charge' | 'draft' | 'batch' | 'probe' | 'crash' | 'deadly' | 'moving' | 'timed';

/** One request as its caller observed it. */
export interface Call {
  readonly id: string;
  readonly kind: CallKind;
  readonly entry: number;
  /** Number of the entry's process start during which it was sent. */
  readonly startCount: number;
  readonly sentAtMs: number;
  /** For probes: the configuration version whose route is requested. */
  readonly version: number;
  /** First request of the stream that it resumes, and the last event received so far; absent if it resumes none. */
  readonly resumed: { readonly first: string; readonly lastEvent: number } | undefined;
  /** Parts of its prompt but the last; empty if it names none. */
  readonly parts: readonly string[];
  /** The priority of its route, and the model that it asks for; absent for calls that are not part of the uneven load. */
  readonly load: { readonly priority: number; readonly model: string | undefined } | undefined;
  /** Key that was sent; absent if no customers are configured. */
  readonly held: CallerKey | undefined;
  status: number | undefined;
  signature: string | undefined;
  echoedId: string | undefined;
  /** When a refusal says to come back, as text. */
  retryAfter: string | undefined;
  /** True if the answer named a rate limit of the server that gave it. */
  hasServerLimit: boolean;
  /** True if the answer reported that the server is leaving. */
  hasServerLeaving: boolean;
  body: string;
  /** True if the answer was complete by its HTTP framing. */
  isWhole: boolean;
  endedAtMs: number | undefined;
  /** When the caller disconnected before the answer was complete. */
  leftAtMs: number | undefined;
  /** Why no complete answer came. */
  error: string | undefined;
}
