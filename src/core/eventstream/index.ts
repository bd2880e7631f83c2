/** Event streams (HTML standard, "Server-sent events"), read by their lines. */
export { dataOf } from './dataof.js';
export { EventReader } from './eventreader.js';
export { EventSplitter } from './eventsplitter.js';
export { eventsOf } from './eventsof.js';
export { idOf } from './idof.js';
export type { StreamEvent } from './streamevent.js';
