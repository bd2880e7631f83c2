/**
 * Index of the parent in a tree of bounded degree that is laid out as a heap, or -1 for the root. A
 * suspected parent is passed by for its own parent; a suspected root for the first that is not.
 */
export function treeParent(
  order: readonly string[],
  index: number,
  degree: number,
  suspected: (address: string) => boolean,
): number {
  let parent = index;
  while (parent > 0) {
    parent = Math.floor((parent - 1) / degree);
    if (!suspected(order[parent] ?? '')) return parent;
  }
  const root = order.findIndex((address) => !suspected(address));
  return root < index ? root : -1;
}
