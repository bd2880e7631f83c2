/** Interprets flat state charts: JSON files with states and the events that lead between them. */
export { follow } from './follow.js';
