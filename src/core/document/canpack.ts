type Heuristic = (remaining: readonly number[], sizeBytes: number) => number;

const firstFit: Heuristic = (remaining, sizeBytes) =>
  remaining.findIndex((free) => free >= sizeBytes);

const bestFit: Heuristic = (remaining, sizeBytes) => {
  let best = -1;
  for (const [index, free] of remaining.entries()) {
    if (free < sizeBytes) continue;
    if (best < 0 || free < (remaining[best] ?? 0)) best = index;
  }
  return best;
};

const worstFit: Heuristic = (remaining, sizeBytes) => {
  const largest = Math.max(-1, ...remaining);
  return largest < sizeBytes ? -1 : remaining.indexOf(largest);
};

/** Bin-packing heuristics, tried in order; none of them always finds an existing packing. */
const HEURISTICS: readonly Heuristic[] = [firstFit, bestFit, worstFit];

function packWith(
  choose: Heuristic,
  sizes: readonly number[],
  capacities: readonly number[],
): boolean {
  const remaining = [...capacities];
  for (const sizeBytes of sizes) {
    const place = choose(remaining, sizeBytes);
    if (place < 0) return false;
    remaining[place] = (remaining[place] ?? 0) - sizeBytes;
  }
  return true;
}

/**
 * True if a heuristic packs the sizes (largest first) into the capacities. False may be wrong, since an
 * exhaustive search could find a packing that all heuristics miss.
 */
export function canPack(sizes: readonly number[], capacities: readonly number[]): boolean {
  return HEURISTICS.some((choose) => packWith(choose, sizes, capacities));
}
