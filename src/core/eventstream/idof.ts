import type { StreamEvent } from './streamevent.js';

/** Returns the id that an event names last; undefined if it names none. */
export function idOf({ lines }: StreamEvent): string | undefined {
  return lines.findLast(({ name, text }) => name === 'id' && !text.includes('\0'))?.text;
}
