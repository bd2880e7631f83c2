import { Args } from '@oclif/core';
import { changeFlags } from './operator/changeflags.js';
import { ChangeCommand } from './operator/changecommand.js';
import { checkFile } from './operator/checkfile.js';

/** `tarragonstile apply`: puts a document into force. */
export default class ApplyCommand extends ChangeCommand {
  static override description = 'Checks a document and puts it into force.';

  static override args = { file: Args.string({ required: true, description: 'the document' }) };

  static override flags = changeFlags;

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ApplyCommand);
    const checked = checkFile(args.file, {});
    if (checked.err) return this.stop(checked.val);
    const { text, document } = checked.val;
    return this.change(flags, document, { type: 'text', text, file: args.file });
  }
}
