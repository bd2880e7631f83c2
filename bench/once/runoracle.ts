import { Executed, type Refusal } from '../../src/wire/index.js';
import { Violation } from './violation.js';

/** What was observed of one request, over all its sends. */
interface RequestHistory {
  runs: number;
  /** Sends that led to a run. */
  readonly causes: Set<number>;
  /** Sends that were refused as not run. */
  readonly denied: Set<number>;
  /** True after a refusal by which the request can never run. */
  isDeniedForGood: boolean;
}

const FINAL_REFUSALS = new Set(['ticket-cancelled', 'ticket-expired']);

/**
 * Records which requests ran at the service and what callers were answered, and throws a `Violation` if both
 * contradict each other. It is independent of the code under test: it uses neither ticket tables nor mappings.
 */
export class RunOracle {
  readonly counts = { runs: 0, answers: 0, no: 0, unknown: 0, yes: 0 };

  private readonly requests = new Map<string, RequestHistory>();

  /** Runs under each ticket or key. */
  private readonly groups = new Map<string, number>();

  /** The request that each key was first mapped for. */
  private readonly owners = new Map<string, string>();

  constructor(private readonly trace: (line: string) => void) {}

  /** Returns how often the request has run so far. */
  runsOf(request: string): number {
    return this.historyOf(request).runs;
  }

  /** Records that the store created a mapping; only the first one of a key counts. */
  mapped(group: string, request: string): void {
    if (!this.owners.has(group)) this.owners.set(group, request);
  }

  /** Records that the service starts to run a request. */
  ran({ request, group, id }: { request: string; group: string; id: number }): void {
    const history = this.historyOf(request);
    const groupRuns = (this.groups.get(group) ?? 0) + 1;
    this.groups.set(group, groupRuns);
    history.runs += 1;
    history.causes.add(id);
    this.counts.runs += 1;
    this.trace(`RUN ${request} for send ${id}`);
    if (groupRuns > 1) this.fail(`${request}: ${groupRuns} runs under ${group}`);
    const owner = this.owners.get(group) ?? request;
    if (owner !== request) this.fail(`${request} ran under ${group}, which belongs to ${owner}`);
    if (history.denied.has(id)) this.fail(`${request} ran for send ${id}, refused as not run`);
    if (history.isDeniedForGood) this.fail(`${request} ran after a permanent refusal`);
  }

  /** Records that a caller received an answer, whose text names the request that it belongs to. */
  answered(request: string, text: string): void {
    this.counts.answers += 1;
    this.trace(`ANSWER ${request}: ${text}`);
    if (text !== request) this.fail(`${request} was answered with ${text}`);
    if (this.historyOf(request).runs === 0) this.fail(`${request} was answered but never ran`);
  }

  /** Records a refusal; `runsWhenDecided` is the number of runs at the time when it was decided. */
  refused(request: string, send: number, refusal: Refusal, runsWhenDecided: number): void {
    const history = this.historyOf(request);
    this.trace(`REFUSE ${request} send ${send}: ${refusal.type} ${Executed[refusal.executed]}`);
    if (refusal.executed === Executed.EXECUTED_YES) {
      this.counts.yes += 1;
      if (history.runs === 0) this.fail(`${request} was refused as already run but never ran`);
    } else if (refusal.executed === Executed.EXECUTED_NO) {
      this.counts.no += 1;
      if (runsWhenDecided > 0) this.fail(`${request} was denied (${refusal.type}) after it ran`);
      if (history.causes.has(send)) this.fail(`${request} was denied for the send that ran it`);
      history.denied.add(send);
      history.isDeniedForGood ||= FINAL_REFUSALS.has(refusal.type);
    } else this.counts.unknown += 1;
  }

  /** Throws a `Violation` unless `isRight`. */
  require(isRight: boolean, detail: string): void {
    if (!isRight) this.fail(detail);
  }

  private historyOf(request: string): RequestHistory {
    const known = this.requests.get(request);
    if (known) return known;
    const made = {
      runs: 0,
      causes: new Set<number>(),
      denied: new Set<number>(),
      isDeniedForGood: false,
    };
    this.requests.set(request, made);
    return made;
  }

  private fail(detail: string): never {
    this.trace(`VIOLATION ${detail}`);
    throw new Violation(detail);
  }
}
