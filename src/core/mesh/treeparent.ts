/**
 * Returns the index of the parent in a heap-ordered tree of bounded degree, or -1 for the root. A suspected
 * parent is replaced by its own parent, a suspected root by the first address that is not suspected.
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
