import type { Ms } from '../../base/index.js';

/** A request that may wait in the queue of an entry. */
export interface QueueRequest {
  readonly id: string;
  /** `service/model/adapter`: requests with the same target compete for the same slots. */
  readonly target: string;
  /** Customers' usage is compared within a service, whose requests have comparable token counts. */
  readonly service: string;
  /** 0 is the most urgent, 9 the least. */
  readonly rank: number;
  readonly customer: string;
  readonly arrivedAtMs: Ms;
  /** Last moment at which a forecast may still refuse a first try. */
  readonly refusableUntilMs: Ms;
  /** Last moment at which sending the request is still on time. */
  readonly dueAtMs: Ms;
  /** Last moment at which sending the request is of any use to its caller. */
  readonly untilMs: Ms;
  readonly tokens: number;
  readonly sizeBytes: number;
  /** Its caller was refused before and gives up if it is refused again. */
  readonly isReturn: boolean;
}
