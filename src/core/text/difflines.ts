import type { Hunk } from './hunk.js';

/** Above this many table cells, the differing middle of the texts is treated as one replaced hunk. */
const TABLE_LIMIT = 4_000_000;

/** Returns the lengths of the longest common subsequence of all tails of two lists. */
function commonTailLengths(a: readonly string[], b: readonly string[]): readonly Uint32Array[] {
  const table = Array.from({ length: a.length + 1 }, () => new Uint32Array(b.length + 1));
  for (let i = a.length - 1; i >= 0; i -= 1) {
    const row = table[i] ?? new Uint32Array(0);
    const below = table[i + 1] ?? row;
    for (let j = b.length - 1; j >= 0; j -= 1) {
      const longest = Math.max(below[j] ?? 0, row[j + 1] ?? 0);
      row[j] = a[i] === b[j] ? (below[j + 1] ?? 0) + 1 : longest;
    }
  }
  return table;
}

function middleHunks(a: readonly string[], b: readonly string[], start: number): readonly Hunk[] {
  if (a.length === 0 && b.length === 0) return [];
  if (a.length * b.length > TABLE_LIMIT) return [{ at: start, removed: a, added: b }];
  const table = commonTailLengths(a, b);
  const hunks: Hunk[] = [];
  let [i, j] = [0, 0];
  while (i < a.length || j < b.length) {
    const [fromA, fromB] = [i, j];
    while ((i < a.length || j < b.length) && (i >= a.length || a[i] !== b[j])) {
      const skipA = j >= b.length || (table[i + 1]?.[j] ?? 0) >= (table[i]?.[j + 1] ?? 0);
      if (i < a.length && skipA) i += 1;
      else j += 1;
    }
    if (i > fromA || j > fromB) {
      hunks.push({ at: start + fromA, removed: a.slice(fromA, i), added: b.slice(fromB, j) });
    }
    while (i < a.length && j < b.length && a[i] === b[j]) {
      i += 1;
      j += 1;
    }
  }
  return hunks;
}

/** Returns the hunks in which two texts differ, in order. */
export function diffLines(before: string, after: string): readonly Hunk[] {
  const a = before.split('\n');
  const b = after.split('\n');
  let head = 0;
  while (head < a.length && head < b.length && a[head] === b[head]) head += 1;
  let tail = 0;
  const most = Math.min(a.length, b.length) - head;
  while (tail < most && a.at(-1 - tail) === b.at(-1 - tail)) tail += 1;
  return middleHunks(a.slice(head, a.length - tail), b.slice(head, b.length - tail), head);
}
