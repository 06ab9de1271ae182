//! The samples and the quick start's settings must fit together, since they
//! are the first thing that a new operator runs.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::{Path, PathBuf};

use corianderramp::cmd::files;
use corianderramp::resource::{Kind, Object, Raw, vm};
use corianderramp::settings::Settings;
use standins::{engine, origin, platform, service, toolkit};

/// Versions whose Model objects are samples.
const MODELS: [&str; 2] = ["model.toml", "next/model.toml"];

fn samples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../samples")
}

fn toml_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).unwrap();
    let mut paths: Vec<PathBuf> = entries.map(|e| e.unwrap().path()).collect();
    paths.retain(|p| p.extension().is_some_and(|e| e == "toml"));
    paths.sort();
    paths
}

fn objects() -> Vec<Raw> {
    let declared = files::read(&toml_files(&samples())).unwrap();
    declared.into_iter().map(|d| d.object).collect()
}

/// Guards against samples that `apply` refuses and against Model objects that
/// do not describe what the origin serves. `UPDATE_SAMPLES=1` writes them anew.
#[test]
fn sample_models_describe_the_weights_of_the_origin() {
    let origin: origin::Settings = toolkit::load(&samples().join("standins/origin.toml")).unwrap();
    assert_eq!(origin.models.len(), MODELS.len());
    for (content, name) in origin.models.iter().zip(MODELS) {
        let expected = files::render(&[content.manifest().to_raw().unwrap()]).unwrap();
        let path = samples().join(name);
        if std::env::var_os("UPDATE_SAMPLES").is_some() {
            fs::write(&path, &expected).unwrap();
        }
        let found = fs::read_to_string(&path).unwrap();
        assert!(
            found == expected,
            "{name}: run this test with UPDATE_SAMPLES=1"
        );
    }
    let next = files::read(&toml_files(&samples().join("next"))).unwrap();
    assert_eq!(next.len(), 2);
    let count = |kind| objects().iter().filter(|o| o.kind == kind).count();
    assert_eq!((count(Kind::Service), count(Kind::Account)), (2, 1));
    assert_eq!((count(Kind::Rollout), count(Kind::Vm)), (1, 10));
}

/// Guards against a process that does not run where the VM list says.
#[test]
fn settings_agree_with_the_vm_list() {
    let objects = objects();
    let listed: Vec<Object<vm::Vm>> = objects
        .iter()
        .filter(|o| o.kind == Kind::Vm)
        .map(|o| Object::from_raw(o).unwrap())
        .collect();
    let paths = toml_files(&samples().join("vms"));
    assert_eq!(paths.len(), listed.len());
    for path in paths {
        let settings = Settings::load(&path).unwrap();
        let vm = listed.iter().find(|v| v.metadata.name == settings.vm);
        let vm = &vm
            .unwrap_or_else(|| panic!("{} is not listed", settings.vm))
            .spec;
        assert_eq!(vm.role, settings.role);
        assert_eq!(vm.data_center, settings.data_center);
        assert_eq!(vm.region, settings.region);
        assert_eq!(vm.control, settings.control_address());
        assert_eq!(vm.requests, settings.listen.requests);
        let service = settings.target.map(|t| t.service).unwrap_or_default();
        assert_eq!(vm.service, service);
    }
}

/// Guards against targets behind agents at addresses where nothing listens.
#[test]
fn stand_ins_listen_where_the_settings_point() {
    let folder = samples().join("standins");
    let platform: platform::Settings = toolkit::load(&folder.join("platform.toml")).unwrap();
    let origin: origin::Settings = toolkit::load(&folder.join("origin.toml")).unwrap();
    let engines: engine::Settings = toolkit::load(&folder.join("engines.toml")).unwrap();
    let ledger: service::Settings = toolkit::load(&folder.join("ledger.toml")).unwrap();
    for path in toml_files(&samples().join("vms")) {
        let settings = Settings::load(&path).unwrap();
        if let Some(remote) = settings.platform {
            assert_eq!(remote.address, platform.listen);
        }
        if let Some(remote) = settings.origin {
            assert_eq!(remote.address, origin.listen);
        }
        if let Some(target) = settings.target {
            let all = engines.listen.iter().chain(&ledger.listen);
            assert!(all.copied().any(|a| a == target.address), "{}", settings.vm);
        }
    }
}
