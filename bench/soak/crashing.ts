import type { Dice } from './dice.js';
import { pause } from './pause.js';
import type { Listed, Site } from './site.js';

/** What a request that ends servers is sent with. */
interface CrashingOptions {
  readonly site: Site;
  readonly dice: Dice;
  /** Sends a request for a path to the entry of this number, and waits for its end. */
  ask(path: string, entry: number): Promise<void>;
}

/** Two requests, as each has to be told from the other. */
const PATHS = ['/draft/crash-0', '/batch/crash-1'];
const LONGEST_RUN_MS = 300;
/** How often the caller of each comes back, at any entry. */
const LONGEST_PAUSE_MS = 1500;
/** A server that has ended is back, as another one, after this; the list forgets it by then. */
const BACK_MS = 1200;

/** Requests that end each server that runs them, come back again and again, at any entry. */
export class Crashing {
  private readonly afterMs = new Map<string, number>();

  private isOver = false;

  constructor(private readonly options: CrashingOptions) {
    for (const path of PATHS) this.afterMs.set(path, 10 + options.dice.below(LONGEST_RUN_MS));
  }

  start(): void {
    const { site } = this.options;
    for (const listed of site.listed) this.arm(listed);
    site.added = (listed) => this.arm(listed);
    for (const path of PATHS) void this.repeat(path);
  }

  stop(): void {
    this.isOver = true;
  }

  private arm(listed: Listed): void {
    const { server } = listed;
    server.crashDelayMsByPath = this.afterMs;
    server.onCrash = () => this.crashed(listed);
  }

  private crashed(listed: Listed): void {
    const { site } = this.options;
    const { server } = listed;
    listed.proxy.close();
    site.serversDisturbedAtMs.push(performance.now());
    setTimeout(() => {
      if (this.isOver) return;
      site.drop(listed);
      void site.addServer(server.service, [...server.models.keys()]);
    }, BACK_MS);
  }

  private async repeat(path: string): Promise<void> {
    const { site, dice, ask } = this.options;
    while (!this.isOver) {
      await ask(path, dice.below(site.entries.length));
      await pause(dice.below(LONGEST_PAUSE_MS));
    }
  }
}
