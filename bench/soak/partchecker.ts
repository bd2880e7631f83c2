import type { Call } from './call.js';
import type { PartLoad } from './partload.js';
import type { Site } from './site.js';

/** What the promise checker provides. */
interface PartCheckerOptions {
  readonly site: Site;
  readonly deadly: PartLoad['deadly'];
  /** Time that is added to each bound, for a busy machine. */
  readonly slackMs: number;
  /** Returns true if neither the call's entry nor the store was disturbed for some time before a moment. */
  readonly isCalm: (call: Call, atMs: number) => boolean;
  readonly breach: (promise: string, detail: string) => void;
}

/** Crashes under a part after which entries have to withhold requests with it. */
const CRASHES_UNTIL_WITHHELD = 5;
/** Time until all entries have to know a part. */
const CONTACT_MS = 3000;
/** Sends that are tolerated after that. */
const MAX_LATE_SENDS = 3;
/** Sound requests of either kind below which their shares show nothing. */
const MIN_CALLS = 20;
const MIN_SHARE = 0.5;

function hasBegun({ status, body }: Call): boolean {
  return status === 200 && body.includes('id: ');
}

function shareOf(calls: readonly Call[]): number {
  return calls.filter(hasBegun).length / calls.length;
}

/** Checks that deadly parts are not sent on, and that sound requests that share the other parts are served. */
export class PartChecker {
  constructor(private readonly options: PartCheckerOptions) {}

  judge(calls: readonly Call[]): void {
    for (const part of this.options.deadly) {
      const crashes = this.crashes(part.id);
      const knownAtMs = crashes[CRASHES_UNTIL_WITHHELD - 1] ?? Infinity;
      this.sends(part.id, knownAtMs, calls);
      const lastAtMs = crashes[Math.min(crashes.length, CRASHES_UNTIL_WITHHELD) - 1] ?? Infinity;
      const [first] = part.parts;
      if (first !== part.id) this.goOn(first!, crashes[0] ?? Infinity, lastAtMs, calls);
    }
  }

  /** Returns the times at which servers crashed under a part, in order. */
  private crashes(part: string): readonly number[] {
    const ends: number[] = [];
    for (const { server } of this.options.site.servers) {
      const runs = server.requestLog.filter(({ sharedParts }) => sharedParts.includes(part));
      const [first] = runs.map(({ closedAtMs = Infinity }) => closedAtMs).sort((a, b) => a - b);
      if (server.isDown && first !== undefined) ends.push(first);
    }
    return ends.sort((a, b) => a - b);
  }

  private sends(part: string, knownAtMs: number, calls: readonly Call[]): void {
    const { site, slackMs, isCalm, breach } = this.options;
    const byId = new Map(calls.map((call) => [call.id, call]));
    const runs = site.servers
      .flatMap(({ server }) => server.requestLog)
      .filter(({ sharedParts }) => sharedParts.includes(part));
    const late = runs.filter(({ id, atMs }) => {
      const call = byId.get(id);
      return call && atMs > knownAtMs + CONTACT_MS + slackMs && isCalm(call, atMs);
    });
    if (late.length <= MAX_LATE_SENDS) return;
    breach(
      'a part that crashes servers is not sent on',
      `${part}: ${late.length} of ${runs.length}`,
    );
  }

  /** Compares sound requests with a deadly part's first part to all sound ones before the first crash. */
  private goOn(
    first: string,
    firstCrashAtMs: number,
    lastCrashAtMs: number,
    calls: readonly Call[],
  ): void {
    const { slackMs, isCalm, breach } = this.options;
    const fromMs = lastCrashAtMs + 2 * CONTACT_MS + slackMs;
    const sound = calls.filter(
      (call) =>
        (call.kind === 'draft' || call.kind === 'batch') &&
        call.leftAtMs === undefined &&
        call.resumed === undefined &&
        isCalm(call, call.sentAtMs),
    );
    const sharing = sound.filter(({ parts, sentAtMs }) => parts[0] === first && sentAtMs > fromMs);
    const before = sound.filter(({ sentAtMs }) => sentAtMs < firstCrashAtMs);
    if (sharing.length < MIN_CALLS || before.length < MIN_CALLS) return;
    if (shareOf(sharing) >= shareOf(before) * MIN_SHARE) return;
    const detail = `${first}: ${shareOf(sharing).toFixed(2)}, before ${shareOf(before).toFixed(2)}`;
    breach('sound requests that share parts with deadly ones go on', detail);
  }
}
