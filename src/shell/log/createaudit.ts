import type { Audit, Log } from '../../port/index.js';

/** Writes audit entries to the log, each under the message `audit`. */
export function createAudit(log: Log): Audit {
  return {
    write(entry) {
      log.info('audit', entry);
    },
  };
}
