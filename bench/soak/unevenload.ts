import type { Callers } from './callers.js';
import { customers } from './customers.js';
import type { Dice } from './dice.js';
import { pause } from './pause.js';
import type { Site } from './site.js';

const KINDS = ['charge', 'draft'] as const;
const PRIORITIES = [0, 2] as const;
const MODELS = ['m1', 'm2'];
const LARGEST_BURST = 8;
/** Mean pause of 500 ms between bursts of 4.5 requests: 9 requests per second and customer, half of them in either service. */
const LONGEST_PAUSE_MS = 1000;
/** During a swell a customer pauses for this part of the usual time. */
const SWELL_FACTOR = 16;
const SWELL_MS = 2500;
const BETWEEN_SWELLS_MS = 3500;
const SLOWDOWN = 2.5;
const LONGEST_SLOWDOWN_MS = 1000;
const LONGEST_USUAL_MS = 1500;

/**
 * Three customers that send bursts of two priorities, one of them several times its usual load at moments, and servers
 * that are slower for short times. What a customer sends beyond its usual load is of the less urgent priority only, since
 * more urgent requests of one customer may come before less urgent ones of another.
 */
export class UnevenLoad {
  /** Times in which one customer sent several times its usual load. */
  readonly swells: { readonly fromMs: number; untilMs: number }[] = [];

  private isOver = false;

  private isSwelling = false;

  constructor(
    private readonly site: Site,
    private readonly dice: Dice,
    private readonly callers: Callers,
  ) {}

  start(): void {
    for (const name of customers.loadNames) void this.repeat(name, PRIORITIES, () => true);
    void this.repeat(customers.loadNames.at(-1)!, [2], () => this.isSwelling, SWELL_FACTOR);
    void this.swell();
    void this.slowDown();
  }

  stop(): void {
    this.isOver = true;
  }

  private async repeat(
    customer: string,
    priorities: readonly number[],
    isSending: () => boolean,
    factor = 1,
  ): Promise<void> {
    const { dice, callers } = this;
    const held = { key: customers.loadKey(customer), customer, version: undefined };
    while (!this.isOver) {
      await pause(dice.below(LONGEST_PAUSE_MS / factor));
      const size = isSending() ? 1 + dice.below(LARGEST_BURST) : 0;
      for (let at = 0; at < size; at += 1) {
        const kind = dice.pick(KINDS);
        const model = kind === 'draft' ? dice.pick(MODELS) : undefined;
        void callers.sendLoad(kind, { priority: dice.pick(priorities), model }, held);
      }
    }
  }

  private async swell(): Promise<void> {
    while (!this.isOver) {
      await pause(BETWEEN_SWELLS_MS);
      const swell = { fromMs: performance.now(), untilMs: Infinity };
      this.swells.push(swell);
      this.isSwelling = true;
      await pause(SWELL_MS);
      this.isSwelling = false;
      swell.untilMs = performance.now();
    }
  }

  /** Slows one server at a time. */
  private async slowDown(): Promise<void> {
    const { site, dice } = this;
    while (!this.isOver) {
      await pause(dice.below(LONGEST_USUAL_MS));
      const { gate } = dice.pick(site.active()).server;
      if (!gate) return;
      gate.slowdown = SLOWDOWN;
      await pause(dice.below(LONGEST_SLOWDOWN_MS));
      gate.slowdown = 1;
    }
  }
}
