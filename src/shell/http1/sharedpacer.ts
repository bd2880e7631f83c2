import { ReadPacer } from './readpacer.js';

/** All connections of a process share its event loop, and so one pacer. */
export const sharedPacer = new ReadPacer();
