import type { Failure, ModelId, Ms, RequestId, UpstreamId } from '../base/index.js';

/** A caller's request as it goes to an upstream. */
interface UpstreamCall {
  readonly upstream: UpstreamId;
  readonly address: string;
  readonly maxConnections: number;
  readonly requestId: RequestId;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** The caller's headers that go on: alternates names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** How long the upstream may work on it. */
  readonly deadlineMs: Ms;
  /** 0 is the most urgent, 9 the least. */
  readonly priority: number;
  /** Id of the last event that the caller has, where a stream goes on. */
  readonly resumeAfter?: string;
  /** Version of the weights that a continued stream needs. */
  readonly weightsVersion?: string;
}

/** What an upstream's answer says before its body. */
interface UpstreamHead {
  readonly status: number;
  /** Alternates names and values; only what a caller may see. */
  readonly headers: readonly string[];
  /** True if the upstream states that it did not run the request. */
  readonly isNotRun: boolean;
  /** True if the whole head shows that this is the upstream's answer to this request. */
  readonly isOwn: boolean;
  /** False if the answer ends with its connection: nothing shows then that it is whole. */
  readonly hasLength: boolean;
  /** Requests that run and wait there, where it says. */
  readonly load?: { readonly running: number; readonly waiting: number };
  readonly weightsVersion?: string;
}

/** Why no whole answer came. */
interface UpstreamLinkFailure extends Failure {
  readonly type: 'upstream-unreachable' | 'upstream-lost' | 'upstream-wrong-answer';
  /** True unless not one byte of the request left this process. */
  readonly mayHaveRun: boolean;
}

/** Takes an answer. */
export interface UpstreamReceiver {
  head(head: UpstreamHead): void;
  /** Returns false to stop the flow until `resume`. */
  data(chunk: Buffer): boolean;
  end(): void;
  failed(failure: UpstreamLinkFailure): void;
}

/** A request on its way. */
interface UpstreamSent {
  cancel(): void;
  resume(): void;
}

/** An order about weights. */
interface UpstreamOrder {
  readonly upstream: UpstreamId;
  readonly address: string;
  readonly action: 'load' | 'unload';
  readonly model: ModelId;
  readonly adapter?: string;
  /** The order is void if the upstream has accepted another number of orders. */
  readonly expectedOrderCount: number;
  readonly holder: string;
  readonly fencingToken: number;
}

/** What an upstream said to an order. */
type OrderOutcome =
  | 'accepted'
  /** Nothing is left to do: it holds already, or was done at once. */
  | 'done'
  | 'conflict'
  | 'fenced'
  | 'wrong-upstream'
  | 'rejected'
  | 'unsent'
  | 'unknown';

/** An upstream's own word on what it holds, some hundred ms old. */
interface UpstreamReport {
  readonly orderCount: number;
  readonly isBusy: boolean;
  readonly models: ReadonlyMap<
    ModelId,
    { readonly version: number; readonly adapters: ReadonlySet<string> }
  >;
}

/** Reaches upstreams without a sidecar. */
export interface UpstreamLink {
  /** Undefined if all connections that this process may have there are in use. */
  send(call: UpstreamCall, receiver: UpstreamReceiver): UpstreamSent | undefined;
  order(order: UpstreamOrder, timeoutMs: Ms): Promise<OrderOutcome>;
  /** What the upstream itself says that it holds; undefined without an answer. */
  report(
    upstream: UpstreamId,
    address: string,
    timeoutMs: Ms,
  ): Promise<UpstreamReport | undefined>;
  /** Closes connections to addresses other than these. */
  keep(addresses: ReadonlySet<string>): void;
  close(): void;
}
