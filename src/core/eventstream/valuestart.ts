const COLON = 0x3a;
const SPACE = 0x20;

/** Returns where the value of the field `name` begins in a line; undefined if the line is another field or a comment. */
export function valueStart(
  line: Buffer,
  start: number,
  end: number,
  name: Buffer,
): number | undefined {
  const nameEnd = start + name.length;
  if (nameEnd > end || line[start] !== name[0]) return undefined;
  for (let at = 1; at < name.length; at += 1) {
    if (line[start + at] !== name[at]) return undefined;
  }
  if (nameEnd === end) return end;
  if (line[nameEnd] !== COLON) return undefined;
  return line[nameEnd + 1] === SPACE && nameEnd + 1 < end ? nameEnd + 2 : nameEnd + 1;
}
