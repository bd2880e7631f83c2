import { Args, Command } from '@oclif/core';
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { exitCodeOf } from './operator/exitcodes.js';
import type { LogLine } from './trace/logline.js';
import { parseLine } from './trace/parseline.js';
import { describeRequest } from './trace/describerequest.js';

/** `tarragonstile trace REQUEST`: explains the outcome of a request from the entries' logs. */
export default class TraceCommand extends Command {
  static override summary = 'Explains the outcome of a request from log files or standard input.';

  static override strict = false;

  static override args = {
    request: Args.string({ required: true, description: "the request's id" }),
    files: Args.string({ description: 'log files; standard input if none are given' }),
  };

  async run(): Promise<void> {
    const { argv } = await this.parse(TraceCommand);
    const [requestId = '', ...files] = argv.map(String);
    const lines: LogLine[] = [];
    const streams =
      files.length > 0 ? files.map((file) => createReadStream(file)) : [process.stdin];
    for (const input of streams) {
      for await (const text of createInterface({ input })) {
        const line = parseLine(text);
        if (line) lines.push(line);
      }
    }
    const output = describeRequest(lines, requestId);
    for (const text of output) this.log(text);
    if (output.length > 0) return;
    this.logToStderr(`No line of ${lines.length} names the request ${requestId}.`);
    this.exit(exitCodeOf('request-unknown'));
  }
}
