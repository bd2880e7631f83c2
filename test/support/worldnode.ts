import type { MeshState } from '../../src/core/mesh/index.js';

/** One process and its place in the world. */
export class WorldNode {
  life = 0;

  up = false;

  /** Lowest revision that a node that had caught up held when this life began, or since. */
  floor = 0;

  constructor(
    readonly id: string,
    public state: MeshState,
  ) {}

  begin(state: MeshState, floor: number): void {
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
}
