import { Command, Flags } from '@oclif/core';
import { FailureError } from '../base/index.js';
import { sidecarSchema, startSidecar } from '../sidecar/index.js';
import { loadSettings } from '../shell/settings/index.js';
import { runUntilStopped } from './rununtilstopped.js';

/** `tarragonstile sidecar`: runs a sidecar until SIGTERM or SIGINT. */
export default class SidecarCommand extends Command {
  static override description = 'Runs a sidecar until SIGTERM or SIGINT.';

  static override flags = {
    settings: Flags.string({ required: true, description: 'settings file (JSON with comments)' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(SidecarCommand);
    const settings = loadSettings(flags.settings, sidecarSchema);
    if (settings.err) throw new FailureError(settings.val);
    await runUntilStopped(() => startSidecar(settings.val));
  }
}
