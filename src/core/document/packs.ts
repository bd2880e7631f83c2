type Choose = (room: readonly number[], sizeBytes: number) => number;

const firstFit: Choose = (room, sizeBytes) => room.findIndex((free) => free >= sizeBytes);

const bestFit: Choose = (room, sizeBytes) => {
  let best = -1;
  for (const [index, free] of room.entries()) {
    if (free < sizeBytes) continue;
    if (best < 0 || free < (room[best] ?? 0)) best = index;
  }
  return best;
};

const worstFit: Choose = (room, sizeBytes) => {
  const most = Math.max(-1, ...room);
  return most < sizeBytes ? -1 : room.indexOf(most);
};

/** Ways to choose a place, tried one after the other: none of them always finds what fits. */
const WAYS: readonly Choose[] = [firstFit, bestFit, worstFit];

function packsBy(choose: Choose, sizes: readonly number[], capacities: readonly number[]): boolean {
  const room = [...capacities];
  for (const sizeBytes of sizes) {
    const place = choose(room, sizeBytes);
    if (place < 0) return false;
    room[place] = (room[place] ?? 0) - sizeBytes;
  }
  return true;
}

/**
 * Whether a packing of the sizes (largest first) into the capacities was found. True is proved by the
 * packing itself; false may be wrong for an arrangement that only an exhaustive search finds.
 */
export function packs(sizes: readonly number[], capacities: readonly number[]): boolean {
  return WAYS.some((choose) => packsBy(choose, sizes, capacities));
}
