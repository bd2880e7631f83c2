import type { Dice } from './dice.js';
import { pause } from './pause.js';
import type { ListedServer, Site } from './site.js';

/** Requests that share one part of their prompts, which crashes each server that begins an answer. */
interface DeadlyPart {
  readonly id: string;
  /** All parts of the prompts but their own; sound requests share the others. */
  readonly parts: readonly string[];
  readonly path: string;
  /** Longest pause between two of them. */
  readonly longestPauseMs: number;
}

/** What the part load works with. */
interface PartLoadOptions {
  readonly site: Site;
  readonly dice: Dice;
  /** Sends a request to the entry with this index and waits until it has ended. */
  ask(path: string, entry: number, parts: readonly string[]): Promise<void>;
}

type PartCrash = NonNullable<ReturnType<ListedServer['server']['crashByPart']['get']>>;

/** Parts that sound requests begin with. */
const FIRST_PARTS = ['f0', 'f1', 'f2'];
const MANNERS: readonly PartCrash['sends'][] = ['nothing', 'one-event', 'unframed-cut'];
const PATHS = ['/draft/deadly', '/batch/deadly'];
const LONGEST_CRASH_MS = 100;
const SHORTEST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 900;
/** Time without deadly parts at first, for comparison, and between the two. */
const LATER_MS = 5000;

/** Callers whose requests hold deadly parts. No two of their requests are alike. */
export class PartLoad {
  readonly deadly: readonly DeadlyPart[];

  private readonly crashByPart = new Map<string, PartCrash>();

  private isOver = false;

  constructor(private readonly options: PartLoadOptions) {
    const { dice } = options;
    this.deadly = ['dead0', 'dead1'].map((id) => {
      this.crashByPart.set(id, {
        afterMs: dice.below(LONGEST_CRASH_MS),
        sends: dice.pick(MANNERS),
      });
      const isFirst = dice.below(4) === 0;
      const parts = isFirst ? [id, 'b0'] : [dice.pick(FIRST_PARTS), id];
      const longestPauseMs = SHORTEST_PAUSE_MS + dice.below(LONGEST_PAUSE_MS);
      return { id, parts, path: dice.pick(PATHS), longestPauseMs };
    });
  }

  start(): void {
    const { site } = this.options;
    const arm = ({ server }: ListedServer) => {
      const armed = server;
      armed.crashByPart = this.crashByPart;
    };
    site.servers.forEach(arm);
    const { added } = site;
    site.added = (listed) => {
      added(listed);
      arm(listed);
    };
    for (const [at, part] of this.deadly.entries()) void this.repeat(part, (at + 1) * LATER_MS);
  }

  stop(): void {
    this.isOver = true;
  }

  private async repeat(part: DeadlyPart, afterMs: number): Promise<void> {
    const { site, dice, ask } = this.options;
    await pause(afterMs);
    while (!this.isOver) {
      void ask(part.path, dice.below(site.entries.length), part.parts);
      await pause(dice.below(part.longestPauseMs));
    }
  }
}
