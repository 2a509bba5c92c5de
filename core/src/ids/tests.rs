use super::*;

#[test]
fn parse_names_the_refused_character() {
    let err = "bad name".parse::<EngineId>().unwrap_err();
    assert_eq!(err.to_string(), "name \"bad name\" has the character ' '");
}

#[test]
fn parse_refuses_empty_and_long() {
    assert_eq!("".parse::<Zone>(), Err(NameError::Empty));
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    assert_eq!(long.parse::<Zone>(), Err(NameError::TooLong(MAX_NAME_BYTES + 1)));
}

#[test]
fn display_parses_back() {
    let id: ModelId = "vuurbol/groot-2".parse().unwrap();
    assert_eq!(id.to_string().parse::<ModelId>().unwrap(), id);
    assert_eq!(Fence(7).to_string().parse::<Fence>().unwrap(), Fence(7));
}
