import { Command, Flags } from '@oclif/core';
import { FailureError } from '../base/index.js';
import { entrySchema, startEntry } from '../entry/index.js';
import { loadSettings } from '../shell/settings/index.js';
import { runUntilStopped } from './rununtilstopped.js';

/** `tarragonstile entry`: runs an entry until SIGTERM or SIGINT. */
export default class EntryCommand extends Command {
  static override description = 'Runs an entry until SIGTERM or SIGINT.';

  static override flags = {
    settings: Flags.string({ required: true, description: 'settings file (JSON with comments)' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(EntryCommand);
    const settings = loadSettings(flags.settings, entrySchema);
    if (settings.err) throw new FailureError(settings.val);
    await runUntilStopped(() => startEntry(settings.val));
  }
}
