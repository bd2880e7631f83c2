import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { hash32 } from '../hash/index.js';
import type { MeshState } from './meshstate.js';

/** Draws a pseudo-random integer from 0 up to but not including `bound`. */
export function draw(
  state: MeshState,
  bound: number,
): { readonly state: MeshState; readonly value: number } {
  const generator = xoroshiro128plus(hash32(`${state.seed}/${state.drawCount}`));
  const value = uniformInt(generator, 0, Math.max(0, bound - 1));
  return { state: { ...state, drawCount: state.drawCount + 1 }, value };
}
