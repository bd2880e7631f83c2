import type { Hunk } from './hunk.js';

/** Applies hunks to the first text that they were computed from. */
export function patchLines(text: string, hunks: readonly Hunk[]): string {
  const lines = text.split('\n');
  const patched: string[] = [];
  let next = 0;
  for (const { at, removed, added } of hunks) {
    patched.push(...lines.slice(next, at), ...added);
    next = at + removed.length;
  }
  return [...patched, ...lines.slice(next)].join('\n');
}
