import { diffLines } from './difflines.js';

const CONTEXT_LINES = 2;

/** Formats the difference of two texts as lines with "-" or "+", with a few lines of context. */
export function formatDiff(before: string, after: string): string {
  const lines = before.split('\n');
  const out: string[] = [];
  for (const { at, removed, added } of diffLines(before, after)) {
    const end = at + removed.length;
    out.push(`@@ normalised line ${at + 1} @@`);
    for (const line of lines.slice(Math.max(0, at - CONTEXT_LINES), at)) out.push(`  ${line}`);
    for (const line of removed) out.push(`- ${line}`);
    for (const line of added) out.push(`+ ${line}`);
    for (const line of lines.slice(end, end + CONTEXT_LINES)) out.push(`  ${line}`);
  }
  return out.join('\n');
}
