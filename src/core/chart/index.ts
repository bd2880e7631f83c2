/** Interprets flat state charts: JSON files of states and the transitions between them. */
export { chartTransition } from './charttransition.js';
