import type { Dice } from './dice.js';
import { pause } from './pause.js';
import type { ListedServer, Site } from './site.js';

/** What the poison load works with. */
interface PoisonLoadOptions {
  readonly site: Site;
  readonly dice: Dice;
  /** Sends a request to the entry with this index and waits until it has ended. */
  ask(path: string, entry: number): Promise<void>;
}

/** Two poison requests, which entries have to tell apart. */
const PATHS = ['/draft/crash-0', '/batch/crash-1'];
const LONGEST_RUN_MS = 300;
/** Longest pause before a caller sends its request again, to a random entry. */
const LONGEST_PAUSE_MS = 1500;

/** Callers that send poison requests again and again: each ends every server that runs it. */
export class PoisonLoad {
  private readonly afterMs = new Map<string, number>();

  private isOver = false;

  constructor(private readonly options: PoisonLoadOptions) {
    for (const path of PATHS) this.afterMs.set(path, 10 + options.dice.below(LONGEST_RUN_MS));
  }

  start(): void {
    const { site } = this.options;
    for (const listed of site.servers) this.arm(listed);
    site.added = (listed) => this.arm(listed);
    for (const path of PATHS) void this.repeat(path);
  }

  stop(): void {
    this.isOver = true;
  }

  private arm({ server }: ListedServer): void {
    const armed = server;
    armed.crashDelayMsByPath = this.afterMs;
  }

  private async repeat(path: string): Promise<void> {
    const { site, dice, ask } = this.options;
    while (!this.isOver) {
      await ask(path, dice.below(site.entries.length));
      await pause(dice.below(LONGEST_PAUSE_MS));
    }
  }
}
