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
  return {
    info(message, fields) {
      logger.info(message, fields);
    },
    warn(message, fields) {
      logger.warn(message, fields);
    },
    error(message, fields) {
      logger.error(message, fields);
    },
  };
}
