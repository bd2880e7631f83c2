import winston from 'winston';
import type { Log } from '../../port/index.js';

/** Creates a structured log that writes one JSON object per line to standard error. */
export function createLog(process: string, level: string): Log {
  const logger = winston.createLogger({
    level,
    defaultMeta: { process },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [
      new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] }),
    ],
  });
  // winston formats a line before it checks the level; checking here first saves that cost.
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
