/* eslint no-param-reassign: off -- admission changes its own tables in place: see AdmissionState */
import type { Ms } from '../../base/index.js';
import { MovingAverage } from './movingaverage.js';
import { Heap } from './heap.js';
import type { Waiting } from './waiting.js';

/** Removed requests stay in the heap until they outnumber the queued ones by this many. */
const HEAP_SLACK = 16;
const VALUE_WEIGHT = 0.05;
/** Largest fraction of its time by which a valuable request is moved ahead of its deadline. */
const MAX_LEAD = 1;

/** Requests of one customer in one lane. */
interface CustomerQueue {
  readonly customer: string;
  /** Earliest deadline first. Removed requests stay in the heap until they reach its head. */
  readonly heap: Heap<Waiting>;
  queuedMs: Ms;
  count: number;
}

/** Queued requests of one priority: for each customer, the earliest deadline first. */
export class Lane {
  /** Queues of customers that have requests in this lane. */
  private readonly queues = new Map<string, CustomerQueue>();

  private readonly averageValue = new MovingAverage(VALUE_WEIGHT);

  /** Total time for which the queued requests will hold their slots. */
  queuedMs: Ms = 0;

  count = 0;

  push(waiting: Waiting): void {
    const { customer } = waiting.offer;
    const queue = this.queues.get(customer) ?? {
      customer,
      heap: new Heap(),
      queuedMs: 0,
      count: 0,
    };
    this.queues.set(customer, queue);
    this.averageValue.add(waiting.valuePerMs);
    queue.heap.push(this.keyOf(waiting), waiting);
    this.add(queue, waiting, 1);
  }

  /** Accounts for a request that left the lane other than by `takeOf`. */
  drop(waiting: Waiting): void {
    const queue = this.queues.get(waiting.offer.customer);
    if (!queue) return;
    this.add(queue, waiting, -1);
    const limit = 2 * queue.count + HEAP_SLACK;
    if (queue.heap.size > limit) queue.heap.retain(({ place }) => place === 'lane');
  }

  /** Dequeues the customer's request that is due first. */
  takeOf(customer: string): Waiting | undefined {
    const queue = this.queues.get(customer);
    if (!queue) return undefined;
    for (let head = queue.heap.pop(); head; head = queue.heap.pop()) {
      if (head.place !== 'lane') continue;
      this.add(queue, head, -1);
      return head;
    }
    return undefined;
  }

  /** Number of customers with queued requests. */
  get customerCount(): number {
    return this.queues.size;
  }

  /** Returns the customers with queued requests. */
  customers(): Iterable<string> {
    return this.queues.keys();
  }

  /** Returns the queued work of one customer in this lane. */
  queuedOf(customer: string): Ms {
    return this.queues.get(customer)?.queuedMs ?? 0;
  }

  /** Returns the sort key: the deadline, moved earlier for requests of more than average value. */
  private keyOf({ valuePerMs, deadlineAtMs, offeredAtMs }: Waiting): number {
    const ratio = valuePerMs / this.averageValue.valueOr(valuePerMs);
    const lead = ratio > 1 ? MAX_LEAD * (1 - 1 / ratio) : 0;
    return deadlineAtMs - lead * (deadlineAtMs - offeredAtMs);
  }

  private add(queue: CustomerQueue, { holdMs }: Waiting, count: 1 | -1): void {
    queue.queuedMs += count * holdMs;
    queue.count += count;
    if (queue.count === 0) this.queues.delete(queue.customer);
    this.queuedMs += count * holdMs;
    this.count += count;
    if (this.count === 0) this.queuedMs = 0;
  }
}
