import { Args } from '@oclif/core';
import { formatDiff, normalise } from '../core/text/index.js';
import { checkFile } from './operator/checkfile.js';
import { OperatorCommand } from './operator/operatorcommand.js';

/** `tarragonstile diff`: prints what `apply` would change. */
export default class DiffCommand extends OperatorCommand {
  static override description = 'Prints the difference between the document in force and a file.';

  static override args = { file: Args.string({ required: true, description: 'the document' }) };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(DiffCommand);
    const checked = checkFile(args.file, {});
    if (checked.err) return this.stop(checked.val);
    const { text, document } = checked.val;
    const { service, region } = document;
    const held = await this.held(this.storeFrom(flags), service, region);
    const revision = held?.revision ?? 0;
    const theirs = held ? normalise(held.stored.document) : '';
    const diff = formatDiff(theirs, normalise(text));
    this.logToStderr(`${service} (${region}) is at revision ${revision}`);
    this.log(diff === '' ? 'no difference' : diff);
    return { service, region, revision, diff };
  }
}
