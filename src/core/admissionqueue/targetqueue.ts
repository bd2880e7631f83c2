import type { Ms } from '../../base/index.js';
import type { CustomerUsage } from './customerusage.js';
import { Group } from './group.js';
import { SlotRate } from './slotrate.js';
import type { Waiting } from './waiting.js';

/** Waiting requests of one target, in groups by rank and lateness. */
export class TargetQueue {
  readonly rate = new SlotRate();

  private readonly groups: (Group | undefined)[] = [];

  private count = 0;

  constructor(private readonly usage: CustomerUsage) {}

  get size(): number {
    return this.count;
  }

  insert(waiting: Waiting, nowMs: Ms): void {
    this.rate.begin(nowMs);
    const group = this.groups[waiting.group] ?? new Group(this.usage);
    this.groups[waiting.group] = group;
    group.insert(waiting);
    this.count += 1;
  }

  remove(waiting: Waiting, nowMs: Ms): void {
    this.groups[waiting.group]?.remove(waiting);
    this.count -= 1;
    if (this.count === 0) this.rate.end(nowMs);
  }

  /** Moves a request to another group. */
  move(waiting: Waiting, group: number): void {
    const draft = waiting;
    this.groups[waiting.group]?.remove(waiting);
    draft.group = group;
    const to = this.groups[group] ?? new Group(this.usage);
    this.groups[group] = to;
    to.insert(waiting);
  }

  first(): Waiting | undefined {
    for (const group of this.groups) {
      if (group && group.size > 0) return group.first();
    }
    return undefined;
  }

  /** Returns the last request in order. */
  last(): Waiting | undefined {
    for (let at = this.groups.length - 1; at >= 0; at -= 1) {
      const group = this.groups[at];
      if (group && group.size > 0) return group.last();
    }
    return undefined;
  }

  wouldBeFirst(waiting: Waiting): boolean {
    for (let at = 0; at < waiting.group; at += 1) {
      if ((this.groups[at]?.size ?? 0) > 0) return false;
    }
    return this.groups[waiting.group]?.wouldBeFirst(waiting) ?? true;
  }

  /** Returns how many requests are expected to start before one that is in the queue or is offered to it. */
  expectedAhead(waiting: Waiting, nowMs: Ms): number {
    let ahead = 0;
    for (let at = 0; at < waiting.group; at += 1) ahead += this.groups[at]?.size ?? 0;
    return ahead + (this.groups[waiting.group]?.expectedAhead(waiting, nowMs) ?? 0);
  }
}
