import { Args, Command } from '@oclif/core';
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { exitCodeOf } from './operator/exitcodes.js';
import type { LogLine } from './trace/logline.js';
import { parseLine } from './trace/parseline.js';
import { tellRequest } from './trace/tellrequest.js';

/** Tells a request's story from the entries' logs. */
export default class TraceCommand extends Command {
  static override summary = 'Tells what became of a request, from log files or standard input.';

  static override strict = false;

  static override args = {
    request: Args.string({ required: true, description: "the request's id" }),
    files: Args.string({ description: 'log files; standard input without any' }),
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
    const told = tellRequest(lines, requestId);
    for (const text of told) this.log(text);
    if (told.length > 0) return;
    this.logToStderr(`No line of ${lines.length} names the request ${requestId}.`);
    this.exit(exitCodeOf('request-unknown'));
  }
}
