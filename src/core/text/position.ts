/** Returns the line and column (from 1) of an offset in a text. */
export function position(text: string, offset: number): { line: number; column: number } {
  const before = text.slice(0, offset).split('\n');
  const last = before.at(-1) ?? '';
  return { line: before.length, column: last.length + 1 };
}
