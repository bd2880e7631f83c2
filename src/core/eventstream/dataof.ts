import type { StreamEvent } from './streamevent.js';

/** Returns the data of an event, the values of its data lines; undefined if it has none. */
export function dataOf({ lines }: StreamEvent): string | undefined {
  const values = lines.filter(({ name }) => name === 'data').map(({ text }) => text);
  return values.length === 0 ? undefined : values.join('\n');
}
