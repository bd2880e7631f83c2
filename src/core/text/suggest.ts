/** Unit suffixes of field names, including common variants. */
const UNITS =
  /_?(milliseconds|millis|seconds|minutes|hours|secs?|mins?|ms|s|m|h|bytes|kib|mib|gib|kb|mb|gb|tb|persecond|perminute|persec|count|total)$/i;

const MAX_DISTANCE = 2;

/** Returns a field's name without its unit; undefined if it has none. */
function withoutUnit(name: string): string | undefined {
  const base = name.replace(UNITS, '');
  return base === name || base === '' ? undefined : base.toLowerCase();
}

function plain(name: string): string {
  return name.toLowerCase().replaceAll(/[_-]/g, '');
}

/** Returns the Levenshtein distance of two names. */
function distance(a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (let i = 1; i <= a.length; i += 1) {
    const next = [i];
    for (let j = 1; j <= b.length; j += 1) {
      const replaced = (row[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
      next.push(Math.min(replaced, (row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1));
    }
    row = next;
  }
  return row[b.length] ?? 0;
}

/** The known field that an unknown one probably means. */
interface Suggestion {
  readonly field: string;
  /** True if the names differ only in their unit. */
  readonly otherUnit: boolean;
}

/** Finds the known field that an unknown one most probably means. */
export function suggest(unknown: string, known: readonly string[]): Suggestion | undefined {
  const base = withoutUnit(unknown) ?? plain(unknown);
  const sameStem = known.find((field) => withoutUnit(field) === base);
  if (sameStem) return { field: sameStem, otherUnit: plain(sameStem) !== plain(unknown) };
  const ranked = known
    .map((field) => ({ field, edits: distance(plain(unknown), plain(field)) }))
    .sort((a, b) => a.edits - b.edits);
  const [nearest] = ranked;
  if (!nearest || nearest.edits > MAX_DISTANCE) return undefined;
  return { field: nearest.field, otherUnit: false };
}
