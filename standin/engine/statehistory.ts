import type { EngineState } from './enginestate.js';

interface Snapshot {
  readonly atMs: number;
  readonly sequence: number;
  readonly state: EngineState;
}

/** Past states, from which delayed reports are made. */
export class StateHistory {
  private snapshots: Snapshot[];

  private sequence = 1;

  constructor(
    private readonly lagMs: number,
    nowMs: number,
    state: EngineState,
  ) {
    this.snapshots = [{ atMs: nowMs, sequence: 1, state }];
  }

  record(nowMs: number, state: EngineState): void {
    this.sequence += 1;
    this.snapshots.push({ atMs: nowMs, sequence: this.sequence, state });
    const current = this.snapshots.findLastIndex(({ atMs }) => atMs <= nowMs - this.lagMs);
    this.snapshots = this.snapshots.slice(Math.max(0, current));
  }

  /** Returns the latest state that is at least `lagMs` old. */
  visibleSnapshot(nowMs: number): Snapshot {
    const delayed = this.snapshots.findLast(({ atMs }) => atMs <= nowMs - this.lagMs);
    return delayed ?? this.snapshots[0]!;
  }
}
