import { Command, Flags } from '@oclif/core';
import { judge, type Suspect } from '../core/poison/index.js';
import { askEntry } from './operator/askentry.js';
import { exitCodeOf } from './operator/exitcodes.js';

/** Tells which requests end their upstreams as an entry knows them, and lets one run again. */
export default class PoisonCommand extends Command {
  static override summary = 'Lists requests under which upstreams ended; lifts a verdict.';

  static override enableJsonFlag = true;

  static override flags = {
    peer: Flags.string({
      required: true,
      description: 'address of any entry for calls between entries: HOST:PORT',
    }),
    lift: Flags.string({ description: 'content of the request that may run again' }),
  };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(PoisonCommand);
    if (flags.lift !== undefined) return this.lift(flags.peer, flags.lift);
    const { suspects } = (await askEntry(flags.peer, '/poison/list', {})) as {
      suspects: readonly Suspect[];
    };
    for (const suspect of suspects) this.tell(suspect);
    return { suspects };
  }

  private tell(suspect: Suspect): void {
    const { content, service, model, path, crashes } = suspect;
    this.log(`${judge(suspect)} ${content} ${service} ${model ?? '-'} ${path}`);
    for (const { upstream, runMs, chance, state } of crashes) {
      this.log(`  ${upstream} after ${runMs} ms, by chance ${chance.toPrecision(2)}: ${state}`);
    }
  }

  private async lift(peer: string, content: string): Promise<unknown> {
    const { isLifted } = (await askEntry(peer, '/poison/lift', { content })) as {
      isLifted: boolean;
    };
    this.log(isLifted ? `${content} may run again.` : `${content} was not suspected.`);
    if (!isLifted) this.exit(exitCodeOf('request-unknown'));
    return { isLifted };
  }
}
