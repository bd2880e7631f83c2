import type { CustomerId, ModelId, Ms, RequestId, UpstreamId } from '../base/index.js';
import type { UpstreamReceiver } from './upstreamreceiver.js';

/** A caller's request in the form sent to an upstream. */
interface UpstreamCall {
  readonly upstream: UpstreamId;
  readonly address: string;
  readonly maxConnections: number;
  readonly requestId: RequestId;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** The caller's headers to forward, as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Owner of the API key of the request. */
  readonly customer?: CustomerId;
  /** The caller's own credential, forwarded if the configuration lists no keys. */
  readonly authorization?: string;
  /** Time that the upstream has for the request. */
  readonly deadlineMs: Ms;
  /** 0 is the most urgent, 9 the least. */
  readonly priority: number;
  /** Id of the last event that the caller received; set if a stream is continued. */
  readonly resumeAfter?: string;
  /** Version of the weights that a continued stream requires. */
  readonly weightsVersion?: string;
  /**
   * Called right before the first byte is sent, possibly after a connection was opened. If it returns false,
   * nothing is sent.
   */
  readonly maySend: () => boolean;
}

/** A request that was passed to the link. */
interface SentRequest {
  /** False until the first byte of the request has left this process. */
  readonly isSent: boolean;
  /** Size of the answer's body so far, and in how many pieces it was read: at least one for each chunk. */
  readonly received: { readonly bytes: number; readonly pieces: number };
  cancel(): void;
  resume(): void;
}

/** An order to load or unload a model or an adapter. */
interface UpstreamOrder {
  readonly upstream: UpstreamId;
  readonly address: string;
  readonly action: 'load' | 'unload';
  readonly model: ModelId;
  readonly adapter?: string;
  /** The upstream rejects the order if its count of accepted orders differs from this number. */
  readonly expectedOrderCount: number;
  readonly holder: string;
  readonly fencingToken: number;
}

/** An upstream's reply to an order. */
type OrderOutcome =
  | 'accepted'
  /** Nothing is left to do: the state was reached before, or the order was carried out at once. */
  | 'done'
  | 'conflict'
  | 'fenced'
  | 'wrong-upstream'
  | 'rejected'
  | 'unsent'
  | 'unknown';

/** An upstream's report of its own state. It can be some hundred ms old. */
interface UpstreamReport {
  /** Unix time of the upstream's start; undefined if it does not report one. */
  readonly startedAtMs?: Ms;
  /** Number of orders accepted since its start. */
  readonly orderCount: number;
  readonly isBusy: boolean;
  readonly models: ReadonlyMap<
    ModelId,
    { readonly version: number; readonly adapters: ReadonlySet<string> }
  >;
}

/** Connections to upstreams that have no sidecar. */
export interface UpstreamLink {
  /** Sends a request. Returns undefined if all connections that this process may open there are in use. */
  send(call: UpstreamCall, receiver: UpstreamReceiver): SentRequest | undefined;
  /** Returns the address whose answers came in most pieces since the last call; undefined if none came. */
  busiest(): { readonly address: string; readonly pieces: number } | undefined;
  /** Calls `maySend` right before the first byte is sent; if it returns false, the outcome is `unsent`. */
  order(order: UpstreamOrder, timeoutMs: Ms, maySend: () => boolean): Promise<OrderOutcome>;
  /** Reads the upstream's report; undefined if it does not answer. */
  report(upstream: UpstreamId, address: string, timeoutMs: Ms): Promise<UpstreamReport | undefined>;
  /**
   * Limits the connections to an address and closes idle ones beyond the limit. Returns how many are open; those with
   * requests in flight may be more than the limit.
   */
  limitConnections(address: string, maxCount: number): number;
  /** Closes all connections to an address whose process has ended. Requests in flight there fail. */
  drop(address: string): void;
  /** Closes idle connections to all other addresses. Requests in flight there continue. */
  keep(addresses: ReadonlySet<string>): void;
  close(): void;
}
