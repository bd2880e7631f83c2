import type { Audit, Log } from '../../port/index.js';

/** Creates an audit driver that writes each entry to the log with the message `audit`. */
export function createAudit(log: Log): Audit {
  return {
    write(entry) {
      log.info('audit', entry);
    },
  };
}
