/* eslint no-param-reassign: off -- admission changes its own tables in place: see AdmissionState */
import type { Ms } from '../../base/index.js';
import { Average } from './average.js';
import { Heap } from './heap.js';
import type { Waiting } from './waiting.js';

const LEARN_PART = 0.05;
const DEFAULT_QUANTUM_MS = 1000;

/** What one customer has waiting in one lane. */
interface Line {
  share: number;
  /** Whether it is among the turns; an empty one is taken out when its turn comes. */
  listed: boolean;
  /** Earliest deadline first. Those who left stay in the heap until they reach its head. */
  readonly heap: Heap<Waiting>;
  deficitMs: Ms;
  queuedMs: Ms;
  count: number;
}

/**
 * Requests of one priority that wait: earliest deadline first for each customer, deficit round robin
 * between customers by their share. What a request costs is the time that it holds its place.
 */
export class Lane {
  private readonly lines = new Map<string, Line>();

  /** Customers with something waiting, in the order of their turns. */
  private readonly turns: Line[] = [];

  private readonly cost = new Average(LEARN_PART);

  private shares: ReadonlyMap<string, number> = new Map();

  private leastShare = 1;

  private sharesWaiting = 0;

  private customersWaiting = 0;

  queuedMs: Ms = 0;

  count = 0;

  setShares(shares: ReadonlyMap<string, number>): void {
    this.shares = shares;
    this.leastShare = Math.min(...shares.values(), Infinity);
    if (this.leastShare === Infinity) this.leastShare = 1;
    this.sharesWaiting = 0;
    for (const [customer, line] of this.lines) {
      line.share = shares.get(customer) ?? this.leastShare;
      if (line.count > 0) this.sharesWaiting += line.share;
    }
  }

  push(waiting: Waiting): void {
    const line = this.lineOf(waiting.offer.customer);
    if (!line.listed) this.turns.push(line);
    line.listed = true;
    line.heap.push(waiting.deadlineAtMs, waiting);
    this.add(line, waiting, 1);
    this.cost.add(waiting.holdMs);
  }

  /** Takes out one that has left the lane other than by `take`. */
  drop(waiting: Waiting): void {
    const line = this.lineOf(waiting.offer.customer);
    this.add(line, waiting, -1);
    if (line.heap.size > 2 * line.count + 16) line.heap.keep(({ place }) => place === 'lane');
  }

  /** Takes out the next one to start. */
  take(): Waiting | undefined {
    for (let [line] = this.turns; line; [line] = this.turns) {
      const head = this.headOf(line);
      if (!head) {
        line.deficitMs = Math.min(0, line.deficitMs);
        line.listed = false;
        this.turns.shift();
      } else if (line.deficitMs >= head.holdMs || this.customersWaiting === 1) {
        // A customer alone in the lane uses what is idle: it is not charged for it.
        if (this.customersWaiting > 1) this.charge(line, head);
        line.heap.pop();
        this.add(line, head, -1);
        return head;
      } else {
        line.deficitMs += this.quantumMs() * line.share;
        this.turns.push(this.turns.shift()!);
      }
    }
    return undefined;
  }

  /** The time that was held differs from the estimate that was charged. */
  settle({ offer, chargedMs }: Waiting, heldMs: Ms): void {
    const line = this.lines.get(offer.customer);
    if (line && line.count > 0 && chargedMs > 0) line.deficitMs += chargedMs - heldMs;
  }

  /**
   * Work in this lane that is likely to start before a request of this customer with so much time left.
   * What waits is taken to be spread evenly over the time that it may wait.
   */
  aheadMs(customer: string, remainingMs: Ms, longestMs: Ms): Ms {
    const line = this.lineOf(customer);
    const earlier = Math.min(1, Math.max(0, remainingMs) / longestMs);
    const ownMs = line.queuedMs * earlier;
    const shares = this.sharesWaiting + (line.count === 0 ? line.share : 0);
    const fairMs = (ownMs * shares) / line.share + this.costOfOthers(line);
    return Math.min(fairMs, this.queuedMs - line.queuedMs + ownMs);
  }

  private costOfOthers(line: Line): Ms {
    const others = this.customersWaiting - (line.count > 0 ? 1 : 0);
    return Math.max(0, others) * this.cost.or(0) * 0.5;
  }

  private quantumMs(): Ms {
    return this.cost.or(DEFAULT_QUANTUM_MS) / this.leastShare;
  }

  private charge(line: Line, waiting: Waiting): void {
    line.deficitMs -= waiting.holdMs;
    waiting.chargedMs = waiting.holdMs;
  }

  private headOf({ heap }: Line): Waiting | undefined {
    for (let head = heap.peek(); head; head = heap.peek()) {
      if (head.place === 'lane') return head;
      heap.pop();
    }
    return undefined;
  }

  private add(line: Line, { holdMs }: Waiting, count: 1 | -1): void {
    if (line.count === 0) this.countCustomer(line, 1);
    line.queuedMs += count * holdMs;
    line.count += count;
    if (line.count === 0) this.countCustomer(line, -1);
    this.queuedMs += count * holdMs;
    this.count += count;
    if (line.count === 0) line.queuedMs = 0;
    if (this.count === 0) this.queuedMs = 0;
  }

  private countCustomer({ share }: Line, change: 1 | -1): void {
    this.customersWaiting += change;
    this.sharesWaiting += change * share;
  }

  private lineOf(customer: string): Line {
    const line = this.lines.get(customer) ?? {
      share: this.shares.get(customer) ?? this.leastShare,
      listed: false,
      heap: new Heap<Waiting>(),
      deficitMs: 0,
      queuedMs: 0,
      count: 0,
    };
    this.lines.set(customer, line);
    return line;
  }
}
