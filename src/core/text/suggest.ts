/** Units that a field's name may end in, as written by hand. */
const UNITS =
  /_?(milliseconds|millis|seconds|minutes|hours|secs?|mins?|ms|s|m|h|bytes|kib|mib|gib|kb|mb|gb|tb|persecond|perminute|persec|count|total)$/i;

const LONGEST_DISTANCE = 2;

/** A field's name without its unit; undefined if it carries none. */
function stem(name: string): string | undefined {
  const bare = name.replace(UNITS, '');
  return bare === name || bare === '' ? undefined : bare.toLowerCase();
}

function plain(name: string): string {
  return name.toLowerCase().replaceAll(/[_-]/g, '');
}

/** Edits (insert, delete, replace a letter) between two names. */
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

/** What an unknown field may have meant. */
interface Suggestion {
  readonly field: string;
  /** The names differ only in their unit. */
  readonly otherUnit: boolean;
}

/** Finds the known field that an unknown one is likeliest to have meant. */
export function suggest(unknown: string, known: readonly string[]): Suggestion | undefined {
  const bare = stem(unknown) ?? plain(unknown);
  const united = known.find((field) => stem(field) === bare);
  if (united) return { field: united, otherUnit: plain(united) !== plain(unknown) };
  const ranked = known
    .map((field) => ({ field, edits: distance(plain(unknown), plain(field)) }))
    .sort((a, b) => a.edits - b.edits);
  const [nearest] = ranked;
  if (!nearest || nearest.edits > LONGEST_DISTANCE) return undefined;
  return { field: nearest.field, otherUnit: false };
}
