import type { Ms } from '../../base/index.js';
import { isSuspect } from './issuspect.js';
import type { MeshState } from './meshstate.js';
import { treeOrder } from './treeorder.js';
import { treeParent } from './treeparent.js';

/** Parent and children of a node in the fan-out tree of one key. */
interface Neighbours {
  readonly parent: string | undefined;
  readonly children: readonly string[];
}

/** Returns the neighbours of this process in the tree of a key; none while this process is not in the tree. */
export function neighbours(state: MeshState, key: string, nowMs: Ms): Neighbours {
  const order = treeOrder(state, key);
  const own = order.indexOf(state.self.address);
  if (own < 0) return { parent: undefined, children: [] };
  // A process never suspects itself, even if its own address is among the suspects.
  const suspected = (address: string) =>
    address !== state.self.address && isSuspect(state, address, nowMs);
  const { degree } = state.options;
  const parent = order[treeParent(order, own, degree, suspected)];
  const children = order.filter(
    (_address, index) => index !== own && treeParent(order, index, degree, suspected) === own,
  );
  return { parent, children };
}
