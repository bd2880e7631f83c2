import type { MeshState } from '../../src/core/mesh/index.js';

/** One process of the simulated mesh. */
export class WorldNode {
  life = 0;

  up = false;

  /** For each document, the lowest version that any caught-up node has held since this process started. */
  floor: ReadonlyMap<string, number> = new Map();

  constructor(
    readonly id: string,
    public state: MeshState,
  ) {}

  begin(state: MeshState, floor: ReadonlyMap<string, number>): void {
    this.life += 1;
    this.up = true;
    this.floor = floor;
    this.state = state;
  }

  end(): void {
    this.up = false;
  }

  advance(state: MeshState): void {
    this.state = state;
  }

  /** Lowers the floor to the versions of another node that has caught up: this one may catch up from it. */
  lowerFloor(other: MeshState): void {
    const lowered = [...this.floor].map(
      ([key, sequence]) =>
        [key, Math.min(sequence, other.records.get(key)?.sequence ?? 0)] as const,
    );
    this.floor = new Map(lowered);
  }
}
