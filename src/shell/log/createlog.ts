import winston from 'winston';
import type { Log } from '../../port/index.js';

/** A structured log, one JSON object a line on standard error. */
export function createLog(process: string, level: string): Log {
  const logger = winston.createLogger({
    level,
    defaultMeta: { process },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [
      new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] }),
    ],
  });
  // The library formats what it then does not write, so the level is looked at here.
  return {
    info(message, fields) {
      if (logger.isLevelEnabled('info')) logger.info(message, fields);
    },
    warn(message, fields) {
      if (logger.isLevelEnabled('warn')) logger.warn(message, fields);
    },
    error(message, fields) {
      if (logger.isLevelEnabled('error')) logger.error(message, fields);
    },
  };
}
