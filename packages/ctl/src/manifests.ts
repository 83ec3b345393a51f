/** Translates Kubernetes Gateway API manifests to a configuration file. */
import { LineCounter, parseAllDocuments, stringify } from 'yaml';
import type { InferType } from 'yup';
import { checkConfig, yamlFindings, yupFindings, type Finding } from '@tillerstair/state';
import { AnyManifest, GatewayManifest, RouteManifest } from './manifest-schemas.js';

/** A file of one or more manifests, as YAML documents. */
export interface ManifestFile {
  /** Name of the file, used in findings. */
  readonly file: string;
  readonly text: string;
}

/** The translated configuration file, or the findings that prevent the translation. */
export interface TranslatedManifests {
  /** The configuration file as YAML; undefined if there are findings. */
  readonly text: string | undefined;
  readonly findings: readonly Finding[];
}

interface Route {
  readonly name: string;
  readonly match: { readonly kind: string; readonly path: string };
  readonly acting: boolean;
  readonly urgent: boolean;
  readonly shares: readonly { readonly pool: string; readonly share: number }[];
}

type ParsedRouteManifest = InferType<typeof RouteManifest>;

const strictValidation = { abortEarly: false, strict: true } as const;

/** Collects gateways, routes, pools and findings from the manifests of all files. */
class ManifestTranslator {
  private readonly findings: Finding[] = [];
  private readonly gateways = new Set<string>();
  private readonly parents: { readonly place: string; readonly name: string }[] = [];
  private readonly routes: Route[] = [];
  private readonly poolKinds = new Map<string, 'model' | 'service'>();

  addFile({ file, text }: ManifestFile): void {
    const lineCounter = new LineCounter();
    const documents = parseAllDocuments(text, { lineCounter, uniqueKeys: true });
    for (const [index, document] of [...documents].entries()) {
      for (const finding of yamlFindings(document.errors, lineCounter))
        this.findings.push({ ...finding, place: `${file} ${finding.place}` });
      const manifest: unknown = document.errors.length > 0 ? null : document.toJS();
      if (manifest !== null) this.addManifest(`${file} document ${index + 1}`, manifest);
    }
  }

  /** Builds the configuration file that replaces version `base`, or returns all findings. */
  result(base: number): TranslatedManifests {
    const findings = [...this.findings, ...this.missingGateways()];
    if (this.routes.length === 0 && findings.length === 0)
      findings.push({ place: 'files', text: 'there is no HTTPRoute in any file' });
    if (findings.length > 0) return { text: undefined, findings };
    const pools = [...this.poolKinds].map(([name, kind]) => ({ name, kind }));
    const text = stringify({ base, pools, routes: this.routes });
    const checked = checkConfig(text);
    return {
      text: checked.findings.length > 0 ? undefined : text,
      findings: checked.findings,
    };
  }

  private missingGateways(): readonly Finding[] {
    return this.parents
      .filter(({ name }) => !this.gateways.has(name))
      .map(({ place, name }) => ({ place, text: `no Gateway ${name} is defined in these files` }));
  }

  private addManifest(documentPlace: string, manifest: unknown): void {
    let place = documentPlace;
    try {
      const { kind, metadata } = AnyManifest.validateSync(manifest);
      place = `${documentPlace} ${kind}/${metadata.name ?? ''}`;
      if (kind === 'Gateway')
        this.gateways.add(GatewayManifest.validateSync(manifest, strictValidation).metadata.name);
      else if (kind === 'HTTPRoute')
        this.addRoutes(
          place,
          RouteManifest.cast(RouteManifest.validateSync(manifest, strictValidation)),
        );
      else
        this.findings.push({
          place,
          text: `kind ${kind} is not supported, only Gateway and HTTPRoute are`,
        });
    } catch (error) {
      for (const finding of yupFindings(error))
        this.findings.push({
          ...finding,
          place: finding.place ? `${place} ${finding.place}` : place,
        });
    }
  }

  /** Adds one route for each match of each rule. */
  private addRoutes(place: string, { metadata, spec }: ParsedRouteManifest): void {
    const { annotations } = metadata;
    const kind = annotations['tillerstair/kind'];
    for (const [index, { name }] of spec.parentRefs.entries())
      this.parents.push({ place: `${place} spec.parentRefs[${index}].name`, name });
    for (const [ruleIndex, rule] of spec.rules.entries())
      for (const [matchIndex, match] of rule.matches.entries()) {
        for (const backend of rule.backendRefs)
          this.poolKinds.set(backend.name, kind === 'turn' ? 'model' : 'service');
        const isOnly = spec.rules.length === 1 && rule.matches.length === 1;
        this.routes.push({
          name: isOnly ? metadata.name : `${metadata.name}-${ruleIndex}-${matchIndex}`,
          match: { kind, path: match.path.value },
          acting: annotations['tillerstair/acting'] === 'true',
          urgent: annotations['tillerstair/urgent'] === 'true',
          shares: rule.backendRefs.map(({ name, weight }) => ({ pool: name, share: weight })),
        });
      }
  }
}

/**
 * Translates the manifests of all files to one configuration file that replaces version `base`; if they are invalid, it
 * returns all findings instead.
 */
export const fromManifests = (
  files: readonly ManifestFile[],
  base: number,
): TranslatedManifests => {
  const translator = new ManifestTranslator();
  for (const file of files) translator.addFile(file);
  return translator.result(base);
};
