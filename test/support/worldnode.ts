import type { MeshState } from '../../src/core/mesh/index.js';

/** One process and its place in the world. */
export class WorldNode {
  life = 0;

  up = false;

  /** Of each document, the lowest that any node that had caught up held when this life began, or since. */
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

  /** Another node has caught up: this one may take what that one holds. */
  lowerFloor(other: MeshState): void {
    const lowered = [...this.floor].map(
      ([key, sequence]) =>
        [key, Math.min(sequence, other.records.get(key)?.sequence ?? 0)] as const,
    );
    this.floor = new Map(lowered);
  }
}
