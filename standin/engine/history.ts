import type { EngineState } from './enginestate.js';

interface Moment {
  readonly atMs: number;
  readonly sequence: number;
  readonly state: EngineState;
}

/** Past states, for reports that lag. */
export class History {
  private moments: Moment[];

  private sequence = 1;

  constructor(
    private readonly lagMs: number,
    nowMs: number,
    state: EngineState,
  ) {
    this.moments = [{ atMs: nowMs, sequence: 1, state }];
  }

  note(nowMs: number, state: EngineState): void {
    this.sequence += 1;
    this.moments.push({ atMs: nowMs, sequence: this.sequence, state });
    const current = this.moments.findLastIndex(({ atMs }) => atMs <= nowMs - this.lagMs);
    this.moments = this.moments.slice(Math.max(0, current));
  }

  /** The latest state that is old enough to be told. */
  told(nowMs: number): Moment {
    const old = this.moments.findLast(({ atMs }) => atMs <= nowMs - this.lagMs);
    return old ?? this.moments[0]!;
  }
}
