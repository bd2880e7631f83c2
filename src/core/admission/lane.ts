/* eslint no-param-reassign: off -- admission changes its own tables in place: see AdmissionState */
import type { Ms } from '../../base/index.js';
import { Average } from './average.js';
import { Heap } from './heap.js';
import type { Waiting } from './waiting.js';

/** Those who left stay in the heap until there are so many more of them than of those who wait. */
const HEAP_SLACK = 16;
const LEARN_PART = 0.05;
/** Part of its time that a request of great worth may have less, at most. */
const LARGEST_LEAD = 1;

/** What one customer has waiting in one lane. */
interface Line {
  readonly customer: string;
  /** Earliest deadline first. Those who left stay in the heap until they reach its head. */
  readonly heap: Heap<Waiting>;
  queuedMs: Ms;
  count: number;
}

/** Requests of one priority that wait: for each customer, the earliest deadline first. */
export class Lane {
  /** Of customers with something waiting. */
  private readonly lines = new Map<string, Line>();

  private readonly worth = new Average(LEARN_PART);

  /** Time that all of them will hold their places. */
  queuedMs: Ms = 0;

  count = 0;

  push(waiting: Waiting): void {
    const { customer } = waiting.offer;
    const line = this.lines.get(customer) ?? { customer, heap: new Heap(), queuedMs: 0, count: 0 };
    this.lines.set(customer, line);
    this.worth.add(waiting.worth);
    line.heap.push(this.keyOf(waiting), waiting);
    this.add(line, waiting, 1);
  }

  /** Takes out one that has left the lane other than by `takeOf`. */
  drop(waiting: Waiting): void {
    const line = this.lines.get(waiting.offer.customer);
    if (!line) return;
    this.add(line, waiting, -1);
    const limit = 2 * line.count + HEAP_SLACK;
    if (line.heap.size > limit) line.heap.keep(({ place }) => place === 'lane');
  }

  /** Takes out a customer's request that is due first. */
  takeOf(customer: string): Waiting | undefined {
    const line = this.lines.get(customer);
    if (!line) return undefined;
    for (let head = line.heap.pop(); head; head = line.heap.pop()) {
      if (head.place !== 'lane') continue;
      this.add(line, head, -1);
      return head;
    }
    return undefined;
  }

  /** How many customers have something waiting. */
  get customerCount(): number {
    return this.lines.size;
  }

  /** Customers with something waiting. */
  customers(): Iterable<string> {
    return this.lines.keys();
  }

  /** Work of one customer in this lane. */
  queuedOf(customer: string): Ms {
    return this.lines.get(customer)?.queuedMs ?? 0;
  }

  /** Earliest deadline first, but what is worth more than the rest has a part of its time less. */
  private keyOf({ worth, deadlineAtMs, offeredAtMs }: Waiting): number {
    const ratio = worth / this.worth.or(worth);
    const lead = ratio > 1 ? LARGEST_LEAD * (1 - 1 / ratio) : 0;
    return deadlineAtMs - lead * (deadlineAtMs - offeredAtMs);
  }

  private add(line: Line, { holdMs }: Waiting, count: 1 | -1): void {
    line.queuedMs += count * holdMs;
    line.count += count;
    if (line.count === 0) this.lines.delete(line.customer);
    this.queuedMs += count * holdMs;
    this.count += count;
    if (this.count === 0) this.queuedMs = 0;
  }
}
