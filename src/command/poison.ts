import { Command, Flags } from '@oclif/core';
import { judge, type Suspect } from '../core/poison/index.js';
import { callEntry } from './operator/callentry.js';
import { exitCodeOf } from './operator/exitcodes.js';

/** `tarragonstile poison`: lists requests suspected of crashing their upstreams, and clears one of suspicion. */
export default class PoisonCommand extends Command {
  static override summary = 'Lists requests suspected of crashing upstreams; lifts a verdict.';

  static override enableJsonFlag = true;

  static override flags = {
    peer: Flags.string({
      required: true,
      description: 'address of any entry for calls from other entries: HOST:PORT',
    }),
    lift: Flags.string({ description: 'content id of the request to clear of suspicion' }),
  };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(PoisonCommand);
    if (flags.lift !== undefined) return this.lift(flags.peer, flags.lift);
    const { suspects } = (await callEntry(flags.peer, '/poison/list', {})) as {
      suspects: readonly Suspect[];
    };
    for (const suspect of suspects) this.printSuspect(suspect);
    return { suspects };
  }

  private printSuspect(suspect: Suspect): void {
    const { content, service, model, path, crashes } = suspect;
    this.log(`${judge(suspect)} ${content} ${service} ${model ?? '-'} ${path}`);
    for (const { upstream, runMs, chance, state } of crashes) {
      this.log(`  ${upstream} after ${runMs} ms, by chance ${chance.toPrecision(2)}: ${state}`);
    }
  }

  private async lift(peer: string, content: string): Promise<unknown> {
    const { isLifted } = (await callEntry(peer, '/poison/lift', { content })) as {
      isLifted: boolean;
    };
    this.log(isLifted ? `${content} may run again.` : `${content} was not suspected.`);
    if (!isLifted) this.exit(exitCodeOf('request-unknown'));
    return { isLifted };
  }
}
