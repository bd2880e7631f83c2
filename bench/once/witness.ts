import { Executed, type Refusal } from '../../src/wire/index.js';
import { Violation } from './violation.js';

/** One request as its caller means it: all sends with the same ticket or key. */
interface Seen {
  runs: number;
  /** Sends that caused a run. */
  readonly causes: Set<number>;
  /** Sends that were told `no`. */
  readonly denied: Set<number>;
  /** A refusal that promises that it can run nowhere any more. */
  deniedForGood: boolean;
}

const FOR_GOOD = new Set(['ticket-cancelled', 'ticket-expired']);

/**
 * Sees what truly ran, as the service behind the sidecars does, and what callers are told. It is kept
 * apart from the code under test: it knows nothing of tables or mappings.
 */
export class Witness {
  readonly counts = { runs: 0, answers: 0, no: 0, unknown: 0, yes: 0 };

  private readonly requests = new Map<string, Seen>();

  /** Runs under each ticket or key. */
  private readonly groups = new Map<string, number>();

  /** The request that each key was written down for. */
  private readonly owners = new Map<string, string>();

  constructor(private readonly note: (line: string) => void) {}

  /** How often the request has been run so far. */
  runsOf(request: string): number {
    return this.seen(request).runs;
  }

  /** The store takes the first mapping of a key. */
  mapped(group: string, request: string): void {
    if (!this.owners.has(group)) this.owners.set(group, request);
  }

  /** The service begins to run a request. */
  ran({ request, group, id }: { request: string; group: string; id: number }): void {
    const seen = this.seen(request);
    const groupRuns = (this.groups.get(group) ?? 0) + 1;
    this.groups.set(group, groupRuns);
    seen.runs += 1;
    seen.causes.add(id);
    this.counts.runs += 1;
    this.note(`RUN ${request} for send ${id}`);
    if (groupRuns > 1) this.fail(`${request}: ${groupRuns} runs under ${group}`);
    const owner = this.owners.get(group) ?? request;
    if (owner !== request) this.fail(`${request} ran under ${group}, which belongs to ${owner}`);
    if (seen.denied.has(id)) this.fail(`${request} ran for send ${id}, which was told no`);
    if (seen.deniedForGood) this.fail(`${request} ran after it was denied for good`);
  }

  /** A caller gets an answer that names the request it belongs to. */
  answered(request: string, text: string): void {
    this.counts.answers += 1;
    this.note(`ANSWER ${request}: ${text}`);
    if (text !== request) this.fail(`${request} was answered with ${text}`);
    if (this.seen(request).runs === 0) this.fail(`${request} was answered and never ran`);
  }

  /** A caller is refused. `runsWhenDecided` was read when the refusal was made. */
  refused(request: string, send: number, refusal: Refusal, runsWhenDecided: number): void {
    const seen = this.seen(request);
    this.note(`REFUSE ${request} send ${send}: ${refusal.type} ${Executed[refusal.executed]}`);
    if (refusal.executed === Executed.EXECUTED_YES) {
      this.counts.yes += 1;
      if (seen.runs === 0) this.fail(`${request} was told yes and never ran`);
    } else if (refusal.executed === Executed.EXECUTED_NO) {
      this.counts.no += 1;
      if (runsWhenDecided > 0) this.fail(`${request} was told no (${refusal.type}) after it ran`);
      if (seen.causes.has(send)) this.fail(`${request} was told no for the send that ran it`);
      seen.denied.add(send);
      seen.deniedForGood ||= FOR_GOOD.has(refusal.type);
    } else this.counts.unknown += 1;
  }

  check(isRight: boolean, detail: string): void {
    if (!isRight) this.fail(detail);
  }

  private seen(request: string): Seen {
    const known = this.requests.get(request);
    if (known) return known;
    const made = {
      runs: 0,
      causes: new Set<number>(),
      denied: new Set<number>(),
      deniedForGood: false,
    };
    this.requests.set(request, made);
    return made;
  }

  private fail(detail: string): never {
    this.note(`VIOLATION ${detail}`);
    throw new Violation(detail);
  }
}
