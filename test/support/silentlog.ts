import type { Log } from '../../src/port/index.js';

/** A log that drops everything. */
export const silentLog: Log = { info() {}, warn() {}, error() {} };
