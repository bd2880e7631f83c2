import { Args } from '@oclif/core';
import { explainModel, type Explanation } from '../shell/entries/index.js';
import { OperatorCommand } from './operator/operatorcommand.js';

/** `tarragonstile explain MODEL`: explains the placement of a model. */
export default class ExplainCommand extends OperatorCommand {
  static override description =
    'Prints where a model is loaded, why, and the forecast of the planner, as seen by the given entries.';

  static override args = {
    model: Args.string({ required: true, description: 'model name, as used by callers' }),
  };

  async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ExplainCommand);
    const { entries } = this.settingsFrom(flags);
    const answers = await explainModel(entries, args.model);
    for (const answer of answers) {
      if (answer.type === 'unreachable') {
        this.log(`entry ${answer.url}: ${answer.failure.detail}`);
        continue;
      }
      if (answer.explanations.length === 0) this.log(`entry ${answer.url}: no such model`);
      for (const explanation of answer.explanations) this.printExplanation(explanation);
    }
    return { model: args.model, entries: answers };
  }

  private printExplanation({
    hostId,
    service,
    model,
    residents,
    planner,
    movePenalty,
  }: Explanation): void {
    this.log(`entry ${hostId}: ${model} of ${service}, move penalty ${movePenalty}`);
    if (residents.length === 0) this.log('  not loaded: the next request triggers a load');
    for (const { upstream, availabilityZone, phase, adapters, member } of residents) {
      const extra = adapters.length > 0 ? `, adapters ${adapters.join(' ')}` : '';
      this.log(`  ${upstream} (${availabilityZone}, ${member}): ${phase}${extra}`);
    }
    if (!planner) {
      this.log('  this entry is not its planner');
      return;
    }
    const { epoch, forecastPerSecond, serviceTimeMs, places, unplaced } = planner;
    const rate = `${forecastPerSecond.toFixed(2)} requests/s of ${Math.round(serviceTimeMs)} ms`;
    this.log(`  planned by this entry in epoch ${epoch} for ${rate}`);
    for (const { upstream, reason, gain, cost } of places) {
      const value =
        reason === 'demand' ? `: gains ${gain.toFixed(1)}, costs ${cost.toFixed(1)}` : '';
      this.log(`  wanted at ${upstream}: ${reason}${value}`);
    }
    if (unplaced) this.log('  no upstream has enough memory for it now');
  }
}
