import type { Ms, UpstreamId } from '../../base/index.js';
import { poisonRules } from '../../core/poison/index.js';
import { poisonLimits } from './poisonlimits.js';
import type { UpstreamRun } from './upstreamrun.js';

/** A run whose answer ended, complete as far as its framing tells. */
interface EndedRun extends UpstreamRun {
  readonly answerBeganAtMs: Ms;
  readonly endedAtMs: Ms;
  /** False if the answer ended with its connection, as an answer that a crash has cut short may. */
  readonly hasLength: boolean;
}

/**
 * Runs that ended before they were under way long enough to be evidence. Each is evidence for its traits if its
 * upstream goes on, and against them if it crashes.
 */
export class EndedRuns {
  private readonly byUpstream = new Map<UpstreamId, EndedRun[]>();

  add(run: EndedRun): void {
    const runs = this.byUpstream.get(run.upstream) ?? [];
    runs.push(run);
    if (runs.length > poisonLimits.maxEndedRuns) runs.shift();
    this.byUpstream.set(run.upstream, runs);
  }

  /** Returns and removes the runs that may have crashed an upstream. */
  takeAt(upstream: UpstreamId): readonly EndedRun[] {
    const runs = this.byUpstream.get(upstream) ?? [];
    this.byUpstream.delete(upstream);
    return runs;
  }

  /** Removes runs after which the upstream answered a request sent at `sentAtMs`, if they are no evidence for it. */
  answered(upstream: UpstreamId, sentAtMs: Ms): void {
    this.keep(upstream, ({ hasLength, endedAtMs }) => hasLength || endedAtMs >= sentAtMs);
  }

  /** Returns and removes the runs whose upstream has gone on for long enough after their answers began. */
  takeSurvived(nowMs: Ms): readonly EndedRun[] {
    const survived: EndedRun[] = [];
    for (const [upstream, runs] of this.byUpstream) {
      for (const run of runs) {
        const isOver = nowMs - run.answerBeganAtMs >= poisonRules.survivalMs;
        if (run.hasLength && isOver) survived.push(run);
      }
      const oldestMs = nowMs - poisonLimits.listLapseMs;
      this.keep(upstream, (run) => !survived.includes(run) && run.endedAtMs > oldestMs);
    }
    return survived;
  }

  private keep(upstream: UpstreamId, isKept: (run: EndedRun) => boolean): void {
    const kept = (this.byUpstream.get(upstream) ?? []).filter(isKept);
    if (kept.length > 0) this.byUpstream.set(upstream, kept);
    else this.byUpstream.delete(upstream);
  }
}
